package standin
